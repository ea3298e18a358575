{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'link', above: 1.1 }, leave: { signal: 'link', below: 0.8 }, measures: { shed: [{ route: 'r', share: 0.2 }] } },
  ] },
}
