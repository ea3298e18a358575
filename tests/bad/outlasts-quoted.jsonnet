{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { relays: 3, time_outs: { look: { base: '100ms', part: 1.2 } }, wait: { base: '50ms', growth: 2, jitter: 0.5 } } },
}
