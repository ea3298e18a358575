{ version: 1, colour: 'red' }
