{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { relays: 2, wait: { base: '50ms', most: '20ms' } } },
}
