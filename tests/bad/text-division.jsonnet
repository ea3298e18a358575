{ version: 1, front: { budget: { share: 0 / 0 } } }
