"""The gateway's settings (INI): state service, nodes, broker, and the queues with their job templates."""

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

GATEWAY_SECTION, BROKER_SECTION = "gateway", "broker"
QUEUE_PREFIX = "queue "


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Holds the settings of one work queue: its job template and how its messages are consumed and identified."""

    name: str
    template: Template
    prefetch: int = 200
    identity_header: str = ""  # header that identifies a message without a message id
    hash_identity: bool = False  # whether the body's hash identifies a message without an id
    dead_letter: str = ""  # exchange for messages that can't become a job


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Holds the settings of a gateway: its name, the services that it uses, its limits and its queues."""

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
    requests_per_s: float = 50.0  # the gateway's share of the state service's request budget
    changes_per_s: float = 40.0
    txn_ops: int = 12
    queues: tuple[QueueSettings, ...] = ()


def read_private_file(path: str, where: str) -> str:
    """Returns the text of a file. Raises SettingsError if other users may read the file, or it can't be read."""
    try:
        mode = os.stat(path).st_mode
        text = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{where}: {path}: {getattr(error, 'strerror', None) or 'not text'}") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsError(f"{where}: {path}: may be read by others; chmod 600 it")
    return text


def _read_number(section: Any, name: str, default: float, low: float, high: float, where: str) -> float:
    text = section.get(name)
    return default if text is None else parse_ini_number(text, f"{where} {name}", low, high)


def _reject_unknown(section: Any, names: set[str], where: str) -> None:
    for name in section:
        if name not in names:
            raise unknown_setting_error(name, names, where)


def load_gateway_settings(path: str | Path) -> GatewaySettings:
    """Reads the settings of a gateway. Raises SettingsError with one line that names the field."""
    parser = read_ini(path)
    for section in parser.sections():
        if section not in (GATEWAY_SECTION, BROKER_SECTION) and not section.startswith(QUEUE_PREFIX):
            raise SettingsError(f"{path}: [{section}]: no such section")
    for section in (GATEWAY_SECTION, BROKER_SECTION):
        if not parser.has_section(section):
            raise SettingsError(f"{path}: [{section}]: must be given")
    gateway, broker = parser[GATEWAY_SECTION], parser[BROKER_SECTION]
    where = f"{path}: [{GATEWAY_SECTION}]"
    _reject_unknown(gateway, {"name", "state", "nodes", "lease_s", "requests_per_s", "changes_per_s", "txn_ops"}, where)
    nodes = tuple(part.strip() for part in gateway.get("nodes", "").split(",") if part.strip())
    for name, address in [("state", gateway.get("state", "")), *(("nodes", node) for node in nodes)]:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(f"{where} {name}: expected host:port, got {address!r}")
    if not nodes:
        raise SettingsError(f"{where} nodes: at least one must be given")
    if not gateway.get("name"):
        raise SettingsError(f"{where} name: must be given, and differ between gateways")
    broker_where = f"{path}: [{BROKER_SECTION}]"
    _reject_unknown(
        broker, {"host", "port", "virtual_host", "user", "password_file", "tls_ca", "heartbeat_s"}, broker_where
    )
    password = (
        read_private_file(broker["password_file"], f"{broker_where} password_file")
        if "password_file" in broker
        else "guest"
    )
    queues = tuple(_queue(parser, section, path) for section in parser.sections() if section.startswith(QUEUE_PREFIX))
    if not queues:
        raise SettingsError(f"{path}: at least one [queue NAME] must be given")
    return GatewaySettings(
        name=gateway["name"],
        state=gateway["state"],
        nodes=nodes,
        host=broker.get("host", "127.0.0.1"),
        port=int(_read_number(broker, "port", 5672, 1, 65535, broker_where)),
        virtual_host=broker.get("virtual_host", "/"),
        user=broker.get("user", "guest"),
        password=password,
        tls_ca=broker.get("tls_ca", ""),
        heartbeat_s=int(_read_number(broker, "heartbeat_s", 10, 1, 600, broker_where)),
        lease_s=_read_number(gateway, "lease_s", 10, 1, 600, where),
        requests_per_s=_read_number(gateway, "requests_per_s", 50, 1, 1e6, where),
        changes_per_s=_read_number(gateway, "changes_per_s", 40, 1, 1e6, where),
        txn_ops=int(_read_number(gateway, "txn_ops", 12, 2, 1000, where)),
        queues=queues,
    )


def _queue(parser: configparser.ConfigParser, section: str, path: str | Path) -> QueueSettings:
    where = f"{path}: [{section}]"
    name = section.removeprefix(QUEUE_PREFIX).strip()
    if not name:
        raise SettingsError(f"{where}: names no queue")
    values = parser[section]
    fields = {key.removeprefix("job."): text for key, text in values.items() if key.startswith("job.")}
    _reject_unknown(
        [key for key in values if not key.startswith("job.")],
        {"prefetch", "identity_header", "hash_identity", "dead_letter", "opens"},
        where,
    )
    opens = frozenset(part.strip() for part in values.get("opens", "").split(",") if part.strip())
    try:
        template = Template.compile(fields, opens)
    except InvalidTemplateError as error:
        raise SettingsError(f"{where} job.{error}") from error
    hashed = configparser.ConfigParser.BOOLEAN_STATES.get(values.get("hash_identity", "no").lower())
    if hashed is None:
        raise SettingsError(f"{where} hash_identity: expected yes or no")
    return QueueSettings(
        name,
        template,
        int(_read_number(values, "prefetch", 200, 1, 65535, where)),
        values.get("identity_header", ""),
        hashed,
        values.get("dead_letter", ""),
    )


def broker_url(settings: GatewaySettings) -> str:
    """Returns the broker's URL for the client library. It contains the password and must not be logged."""
    scheme = "amqps" if settings.tls_ca else "amqp"
    user, password, host = (quote(text, safe="") for text in (settings.user, settings.password, settings.virtual_host))
    return f"{scheme}://{user}:{password}@{settings.host}:{settings.port}/{host}?heartbeat={settings.heartbeat_s}"
