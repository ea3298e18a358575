{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  workloads: { maps: { retry_on: ['reset'], second: { after: { base: '40ms', part: 1.1 } } } },
}
