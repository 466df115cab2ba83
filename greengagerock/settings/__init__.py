"""Settings files: schema, validation and faults with their location."""

from greengagerock.settings.checker import (
    SettingsError,
    SettingsFault,
    load_settings,
    parse_settings,
)
from greengagerock.settings.schema import (
    LimitSettings,
    ListenSettings,
    LogSettings,
    Settings,
    VoterSettings,
    join_address,
)

__all__ = [
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "Settings",
    "SettingsError",
    "SettingsFault",
    "VoterSettings",
    "join_address",
    "load_settings",
    "parse_settings",
]
