"""Entry point of ``python -m goldcrestproxy.cli``."""

from __future__ import annotations

import sys

from goldcrestproxy.cli.application import main

sys.exit(main())
