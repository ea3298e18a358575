{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  front: { budget: { share: 0.1, fleet: 0 } },
}
