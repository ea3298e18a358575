{
  version: 1,
  largest: { maps: '300KB', grids: '2MB' },
  networks: { one: { include: '10.1.0.0-10.1.9.255' }, two: { include: '10.1.8.0-10.2.0.0' } },
  routes: [
    { name: 'a', match: { networks: 'one' }, plan: { relays: 1 } },
    { name: 'b', match: { networks: 'two' }, plan: { relays: 2 } },
  ],
}
