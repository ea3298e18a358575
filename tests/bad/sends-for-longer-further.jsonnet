{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { time_outs: { look: { first: '200ms', further: '80ms' } } } },
}
