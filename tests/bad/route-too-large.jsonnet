{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  routes: [
    { name: 'a', match: { workload: 'maps', size: { from: '1MB' } } },
  ],
}
