{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { relays: 2, wait: { base: '5ms', growth: 0.5 } } },
}
