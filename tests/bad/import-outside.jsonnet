local x = import '../drive.py'; { version: 1 } + x
