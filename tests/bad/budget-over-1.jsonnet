{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { budget: { share: 1.01 } } },
}
