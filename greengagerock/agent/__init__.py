"""Library for endpoints: announcements, grants and the validation of orders."""

from greengagerock.agent.announcer import Announcer
from greengagerock.agent.grant_table import GrantTable
from greengagerock.agent.orders import ORDER_HEADER, Order

__all__ = ["ORDER_HEADER", "Announcer", "GrantTable", "Order"]
