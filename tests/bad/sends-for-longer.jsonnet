{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { time_outs: { fill: { base: '20ms', part: 0.5 } } } },
}
