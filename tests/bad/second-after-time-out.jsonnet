{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { time_outs: { look: { base: '50ms', part: 1.1 } }, second: { after: { base: '60ms', part: 1.1 } } } },
}
