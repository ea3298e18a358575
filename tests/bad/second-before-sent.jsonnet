{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { second: { after: { base: '10ms', part: 0.5 } } } },
}
