{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'lnk', above: 1 }, leave: { signal: 'lnk', below: 0.5 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}
