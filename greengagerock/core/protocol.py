"""Version of the messages between the system's processes.

New fields are appended to messages with a default, so that older builds ignore them. What all
hosts have to support is used only if ``SiteLeader.common_protocol`` is high enough.
"""

# Version 1 adds evacuations of availability zones. Builds without this constant send no version
# and count as 0.
PROTOCOL_VERSION = 1
