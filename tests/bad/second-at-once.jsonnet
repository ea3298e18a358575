{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { second: { after: '0ms' } } },
}
