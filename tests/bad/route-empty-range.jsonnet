{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  routes: [
    { name: 'a', match: { groups: { from: 9, to: 3 } } },
  ],
}
