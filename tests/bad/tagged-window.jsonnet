// against: tagged
{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { relays: 3, time_outs: { look: { base: '100ms', part: 1.1 } }, until: 'cut-off' } },
}
