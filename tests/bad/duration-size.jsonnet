{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { later: '300KB' } },
}
