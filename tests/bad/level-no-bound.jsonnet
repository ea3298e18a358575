{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'link' }, leave: { signal: 'link', below: 0.8 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}
