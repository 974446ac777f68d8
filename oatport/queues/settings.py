"""The gateway's settings (INI): the broker, the core, and the queues with their class templates."""

from __future__ import annotations

import configparser
import os
import stat
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import quote

from oatport.queues.templates import InvalidTemplateError, Template
from oatport.settings import SettingsError, parse_ini_number, read_ini, unknown_setting_error

GATEWAY, BROKER = "gateway", "broker"
QUEUE = "queue "


@dataclass(frozen=True, slots=True)
class QueueSettings:
    name: str
    template: Template
    prefetch: int = 200
    identity_header: str = ""
    hash_identity: bool = False
    dead_letter: str = ""  # exchange for messages that can't become a job


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    name: str
    state: str
    nodes: tuple[str, ...]
    host: str
    port: int
    virtual_host: str = "/"
    user: str = "guest"
    password: str = field(default="guest", repr=False)
    tls_ca: str = ""
    heartbeat_s: int = 10
    lease_s: float = 10.0
    requests_per_s: float = 50.0  # of the state service's budget
    changes_per_s: float = 40.0
    txn_ops: int = 12
    queues: tuple[QueueSettings, ...] = ()


def private(path: str, where: str) -> str:
    """The content of a file that nobody else may read."""
    try:
        mode = os.stat(path).st_mode
        text = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{where}: {path}: {getattr(error, 'strerror', None) or 'not text'}") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsError(f"{where}: {path}: may be read by others; chmod 600 it")
    return text


def _number(section: Any, name: str, default: float, low: float, high: float, where: str) -> float:
    text = section.get(name)
    return default if text is None else parse_ini_number(text, f"{where} {name}", low, high)


def _known(section: Any, names: set[str], where: str) -> None:
    for name in section:
        if name not in names:
            raise unknown_setting_error(name, names, where)


def load_gateway_settings(path: str | Path) -> GatewaySettings:
    """Raises SettingsError: one line that names the field."""
    parser = read_ini(path)
    for section in parser.sections():
        if section not in (GATEWAY, BROKER) and not section.startswith(QUEUE):
            raise SettingsError(f"{path}: [{section}]: no such section")
    for section in (GATEWAY, BROKER):
        if not parser.has_section(section):
            raise SettingsError(f"{path}: [{section}]: must be given")
    gateway, broker = parser[GATEWAY], parser[BROKER]
    where = f"{path}: [{GATEWAY}]"
    _known(gateway, {"name", "state", "nodes", "lease_s", "requests_per_s", "changes_per_s", "txn_ops"}, where)
    nodes = tuple(part.strip() for part in gateway.get("nodes", "").split(",") if part.strip())
    for name, address in [("state", gateway.get("state", "")), *(("nodes", node) for node in nodes)]:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(f"{where} {name}: expected host:port, got {address!r}")
    if not nodes:
        raise SettingsError(f"{where} nodes: at least one must be given")
    if not gateway.get("name"):
        raise SettingsError(f"{where} name: must be given, and differ between gateways")
    at = f"{path}: [{BROKER}]"
    _known(broker, {"host", "port", "virtual_host", "user", "password_file", "tls_ca", "heartbeat_s"}, at)
    password = private(broker["password_file"], f"{at} password_file") if "password_file" in broker else "guest"
    queues = tuple(_queue(parser, section, path) for section in parser.sections() if section.startswith(QUEUE))
    if not queues:
        raise SettingsError(f"{path}: at least one [queue NAME] must be given")
    return GatewaySettings(
        name=gateway["name"],
        state=gateway["state"],
        nodes=nodes,
        host=broker.get("host", "127.0.0.1"),
        port=int(_number(broker, "port", 5672, 1, 65535, at)),
        virtual_host=broker.get("virtual_host", "/"),
        user=broker.get("user", "guest"),
        password=password,
        tls_ca=broker.get("tls_ca", ""),
        heartbeat_s=int(_number(broker, "heartbeat_s", 10, 1, 600, at)),
        lease_s=_number(gateway, "lease_s", 10, 1, 600, where),
        requests_per_s=_number(gateway, "requests_per_s", 50, 1, 1e6, where),
        changes_per_s=_number(gateway, "changes_per_s", 40, 1, 1e6, where),
        txn_ops=int(_number(gateway, "txn_ops", 12, 2, 1000, where)),
        queues=queues,
    )


def _queue(parser: configparser.ConfigParser, section: str, path: str | Path) -> QueueSettings:
    where = f"{path}: [{section}]"
    name = section.removeprefix(QUEUE).strip()
    if not name:
        raise SettingsError(f"{where}: names no queue")
    own = parser[section]
    fields = {key.removeprefix("job."): text for key, text in own.items() if key.startswith("job.")}
    _known(
        [key for key in own if not key.startswith("job.")],
        {"prefetch", "identity_header", "hash_identity", "dead_letter", "opens"},
        where,
    )
    opens = frozenset(part.strip() for part in own.get("opens", "").split(",") if part.strip())
    try:
        template = Template.compile(fields, opens)
    except InvalidTemplateError as error:
        raise SettingsError(f"{where} job.{error}") from error
    hashed = configparser.ConfigParser.BOOLEAN_STATES.get(own.get("hash_identity", "no").lower())
    if hashed is None:
        raise SettingsError(f"{where} hash_identity: expected yes or no")
    return QueueSettings(
        name,
        template,
        int(_number(own, "prefetch", 200, 1, 65535, where)),
        own.get("identity_header", ""),
        hashed,
        own.get("dead_letter", ""),
    )


def broker_url(settings: GatewaySettings) -> str:
    """For the client library only: it holds the password, so it is never logged."""
    scheme = "amqps" if settings.tls_ca else "amqp"
    user, password, host = (quote(text, safe="") for text in (settings.user, settings.password, settings.virtual_host))
    return f"{scheme}://{user}:{password}@{settings.host}:{settings.port}/{host}?heartbeat={settings.heartbeat_s}"
