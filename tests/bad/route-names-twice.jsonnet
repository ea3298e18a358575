{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  routes: [
    { name: 'a', match: { parts: 1 } },
    { name: 'a', match: { parts: 2 } },
  ],
}
