"""How long the store's client takes to notice things, for stand-ins of it in virtual time."""

from __future__ import annotations

from ..settings.gateway import StoreSection

#: Seconds until a call gives up that got no connection.
STORE_CONNECT_S: float = StoreSection.model_fields["connect_timeout_s"].default
