"""Entry point of ``python -m goldcrestproxy.daemon``."""

from __future__ import annotations

import sys

from goldcrestproxy.daemon import main

sys.exit(main())
