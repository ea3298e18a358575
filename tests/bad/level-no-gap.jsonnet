{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'link', above: 1.1 }, leave: { signal: 'link', below: 1.1 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}
