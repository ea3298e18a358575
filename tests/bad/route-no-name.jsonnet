{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  routes: [
    { match: { parts: 1 } },
  ],
}
