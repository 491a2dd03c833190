"""JSON format of the configuration items that operators set and read."""

from __future__ import annotations

import json
import re
import typing as ty

from goldcrestproxy.platform import decoding
from goldcrestproxy import registry

_KIND_BY_FIELD: ty.Final = {
    "routes": registry.ItemKind.ROUTE,
    "services": registry.ItemKind.SERVICE,
    "customers": registry.ItemKind.CUSTOMER,
}
_LIMITS_FIELD: ty.Final = "limits"
KEY_CHARACTERS_MAX: ty.Final = 1024
# What a header can hold whole.
KEY_PATTERN: ty.Final = re.compile(rf"[!-~]{{1,{KEY_CHARACTERS_MAX}}}")


def decode_changes(data: bytes) -> registry.ChangeItemsCall:
    """Decode a call that sets and removes items.

    :raises DecodingError: naming the first invalid field; no item of the
        call is applied then
    """
    body = decoding.read_object(data)
    upserted = decoding.as_object(body.get("upsert", {}), "upsert")
    removed = decoding.as_object(body.get("remove", {}), "remove")
    changed = [*_upserted_items(upserted), *_removed_items(removed)]
    return registry.ChangeItemsCall(changed=tuple(changed))


def encode_items(items: ty.Iterable[registry.Item]) -> dict[str, ty.Any]:
    """Return items in the JSON form in which they were set."""
    encoded: dict[str, ty.Any] = {name: [] for name in _KIND_BY_FIELD}
    names = {kind: name for name, kind in _KIND_BY_FIELD.items()}
    items = list(items)
    if not any(i.key.kind is registry.ItemKind.CUSTOMER for i in items):
        del encoded[names[registry.ItemKind.CUSTOMER]]
    for item in items:
        source = json.loads(item.source)
        if item.key.kind is registry.ItemKind.LIMITS:
            encoded[_LIMITS_FIELD] = source
        else:
            encoded[names[item.key.kind]].append(source)
    return encoded


def _upserted_items(body: decoding.Body) -> ty.Iterator[registry.Item]:
    for key, fields in _named_items(body):
        yield registry.Item(
            key=key,
            version=decoding.integer(fields, "version"),
            value=_decode_value(key.kind, fields),
            source=json.dumps(fields, separators=(",", ":")),
        )
    if _LIMITS_FIELD in body:
        fields = decoding.as_object(body[_LIMITS_FIELD], _LIMITS_FIELD)
        yield registry.Item(
            key=registry.ItemKey(kind=registry.ItemKind.LIMITS, name=""),
            version=decoding.integer(fields, "version"),
            value=_decode_limits(fields),
            source=json.dumps(fields, separators=(",", ":")),
        )


def _removed_items(body: decoding.Body) -> ty.Iterator[registry.Item]:
    for key, fields in _named_items(body):
        yield registry.Item(
            key=key, version=decoding.integer(fields, "version")
        )


def _named_items(
    body: decoding.Body,
) -> ty.Iterator[tuple[registry.ItemKey, decoding.Body]]:
    """Yield the key and the fields of each item with a name."""
    for name, kind in _KIND_BY_FIELD.items():
        for entry in decoding.as_list(body.get(name, []), name):
            fields = decoding.as_object(entry, name)
            key = registry.ItemKey(
                kind=kind, name=decoding.string(fields, "name")
            )
            yield key, fields


def _decode_value(
    kind: registry.ItemKind, body: decoding.Body
) -> registry.ItemValue:
    match kind:
        case registry.ItemKind.ROUTE:
            return _decode_route(body)
        case registry.ItemKind.SERVICE:
            return _decode_service(body)
        case registry.ItemKind.LIMITS:
            return _decode_limits(body)
        case registry.ItemKind.CUSTOMER:
            try:
                return _decode_customer(body)
            except decoding.DecodingError as error:
                raise error.without_value() from None


def _decode_route(body: decoding.Body) -> registry.Route:
    prefix = decoding.string(body, "path_prefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise decoding.DecodingError(
            f"path_prefix is {decoding.brief(prefix)}; it begins and ends "
            "with a slash"
        )
    kinds = [kind.value for kind in registry.RouteKind]
    return registry.Route(
        host=decoding.string(body, "host"),
        path_prefix=prefix,
        kind=registry.RouteKind(decoding.choice(body, "route_kind", kinds)),
        timeout_ms=int(decoding.number(body, "timeout_ms", minimum=1)),
        target_latency_ms=int(decoding.number(body, "target_latency_ms", 0)),
        rank=int(decoding.number(body, "rank", 0)),
        attempts_max=decoding.integer(body, "attempts_max", 1, minimum=1),
        shares=_decode_shares(body),
        public=decoding.boolean(body, "public", False),
    )


def _decode_shares(body: decoding.Body) -> tuple[registry.ServiceShare, ...]:
    if "shares" not in body:
        service = decoding.string(body, "service")
        return (registry.ServiceShare(service=service, weight=1.0),)
    entries = decoding.as_list(body["shares"], "shares")
    if not entries:
        raise decoding.DecodingError("shares is empty")
    shares = []
    for entry in entries:
        fields = decoding.as_object(entry, "shares")
        shares.append(
            registry.ServiceShare(
                service=decoding.string(fields, "service"),
                weight=decoding.number(fields, "weight"),
            )
        )
    return tuple(shares)


def _decode_service(body: decoding.Body) -> registry.Service:
    return registry.Service(
        health_path=decoding.string(body, "health_path", "/"),
        connections_max=decoding.integer(body, "connections_max", 0),
        cold_ms=int(decoding.number(body, "cold_s", 0) * 1000),
        cold_requests_per_s=decoding.number(body, "cold_requests_per_s", 0),
        keyed=decoding.boolean(body, "keyed", False),
        key_warm_up_ms=int(decoding.number(body, "key_warm_up_s", 0) * 1000),
    )


def _decode_customer(body: decoding.Body) -> registry.Customer:
    rank = body.get("rank")
    return registry.Customer(
        key_digests=_decode_keys(body),
        rank=None if rank is None else int(decoding.number(body, "rank", 0)),
        requests_per_s=decoding.number(body, "requests_per_s", 0),
        burst_requests=decoding.number(body, "burst_requests", 0),
    )


def _decode_keys(body: decoding.Body) -> tuple[str, ...]:
    """Return the digests of a customer's keys.

    :raises DecodingError: that says which key is invalid, not what it is
    """
    keys = decoding.as_list(body.get("api_keys", []), "api_keys")
    for position, key in enumerate(keys):
        if not isinstance(key, str) or not KEY_PATTERN.fullmatch(key):
            raise decoding.DecodingError(
                f"key {position} of api_keys is invalid; a text of 1 to "
                f"{KEY_CHARACTERS_MAX} printable characters is expected"
            )
    return tuple(registry.key_digest(key) for key in keys)


def _decode_limits(body: decoding.Body) -> registry.CallerLimits:
    return registry.CallerLimits(
        header_bytes_max=decoding.integer(body, "header_bytes_max", minimum=1),
        body_bytes_max=decoding.integer(body, "body_bytes_max"),
        header_timeout_ms=int(decoding.number(body, "header_timeout_ms")),
        idle_timeout_ms=int(decoding.number(body, "idle_timeout_ms")),
    )
