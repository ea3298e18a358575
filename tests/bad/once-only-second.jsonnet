// against: once
{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { second: { after: { base: '40ms', part: 1.1 } }, retry_on: ['given-up'] } },
}
