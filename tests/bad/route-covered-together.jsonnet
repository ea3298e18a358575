{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  routes: [
    { name: 'low', match: { objects: { to: '7fffffffffffffff' } } },
    { name: 'high', match: { objects: { from: '8' } } },
    { name: 'none', match: { groups: 3 } },
  ],
}
