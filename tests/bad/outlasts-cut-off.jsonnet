{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { relays: 4, time_outs: { fill: { base: '800ms', part: 1.2 } }, until: 'cut-off' } },
}
