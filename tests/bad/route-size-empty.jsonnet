{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  routes: [
    { name: 'a', match: { size: { from: '2MB', to: '1MB' } } },
  ],
}
