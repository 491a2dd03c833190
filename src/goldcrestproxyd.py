"""Start the daemon from a checkout, without an installed package."""

from __future__ import annotations

import sys

from goldcrestproxy.daemon import main

sys.exit(main())
