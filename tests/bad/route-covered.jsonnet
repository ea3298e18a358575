{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  routes: [
    { name: 'all maps', match: { workload: 'maps' } },
    { name: 'some', match: { workload: 'maps', objects: { prefix: '7f' } } },
  ],
}
