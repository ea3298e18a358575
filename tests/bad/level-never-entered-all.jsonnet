{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { all: [{ signal: 'link', above: 2 }, { signal: 'link', below: 1 }] }, leave: { any: [{ signal: 'link', below: 0.8 }, { signal: 'link', above: 3 }] }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}
