Feature: Session

  Scenario Outline: a session with <identification> keeps its version while weights change
    Given session affinity on 4 VMs with versions v1 at 1 and v2 at 0
    And session affinity knows the versions for 10 s
    When sessions 1 to 60 with <identification> begin
    And session weights become v1 at 0.5 and v2 at 0.5
    And sessions 61 to 120 with <identification> begin
    And session weights become v1 at 0 and v2 at 1
    Then sessions 1 to 120 with <identification> keep their versions on every VM
    And sessions 61 to 120 used both versions

    Examples:
      | identification |
      | a session id   |
      | a token        |
      | both           |

  Scenario Outline: a session that began before the second version keeps the first version (event: <event>)
    Given session affinity on 4 VMs with versions v1 at 1 and v2 at none
    When sessions 1 to 60 with a session id begin
    And session affinity meets: <event>
    And session weights become v1 at 0.1 and v2 at 0.9
    And session affinity runs for <seconds> s
    Then sessions 1 to 60 with a session id have version v1 on every VM
    And sessions 61 to 120 used both versions

    Examples:
      | event                          | seconds |
      | no event                       | 10      |
      | every VM restarts gracefully   | 10      |
      | the object API is down for 2 s | 10      |

  Scenario: a session that begins on a VM that receives the second version late keeps the first version
    Given session affinity on 4 VMs with versions v1 at 1 and v2 at none
    When session weights become v1 at 0.1 and v2 at 0.9 except on the last VM
    And sessions 1 to 60 with a session id begin on the last VM
    Then sessions 1 to 60 with a session id have version v1 on the first VM
    When session affinity runs for 2 s
    And the session weights of the last VM become v1 at 0.1 and v2 at 0.9
    Then sessions 1 to 60 with a session id have version v1 on every VM

  Scenario: a session has one version when all VMs resolve its first request at once
    Given session affinity on 4 VMs with versions v1 at 0.5 and v2 at 0.5
    And session affinity on the last VM has versions v1 at 0 and v2 at 1
    When sessions 1 to 60 with a session id begin on all VMs at once
    Then sessions 1 to 60 with a session id keep their versions on every VM

  Scenario Outline: a session token is rejected when <forgery>
    Given session affinity on 4 VMs with versions v1 at 1 and v2 at 0
    When a session token for version v2 is presented with <forgery>
    Then the session has version v1 and the number of rejected tokens is 1

    Examples:
      | forgery                   |
      | another team's signature  |
      | a changed version         |
      | an unknown key            |
      | no signature              |
      | other text                |

  Scenario: a session token signed with the previous key is accepted
    Given session affinity on 4 VMs with versions v1 at 1 and v2 at 0
    When a session token for version v2 is presented with the previous key
    Then the session has version v2 and the number of rejected tokens is 0

  Scenario: a session token carries the versions of several models
    Given session affinity on 4 VMs with versions v1 at 0.5 and v2 at 0.5
    Then a session token keeps the versions of two models

  Scenario: session choice during an object API outage is the same on every VM and is pinned afterwards
    Given session affinity on 4 VMs with versions v1 at 0.5 and v2 at 0.5
    And session affinity cannot reach the object API
    When sessions 1 to 60 with a session id begin
    Then sessions 1 to 60 with a session id keep their versions on every VM
    When session affinity can reach the object API again for 10 s
    And session affinity meets: every VM crashes and restarts
    And session weights become v1 at 0 and v2 at 1
    Then sessions 1 to 60 with a session id keep their versions on every VM

  Scenario Outline: a session moves to another version when its own is <event>
    Given session affinity on 4 VMs with versions v1 at 1 and v2 at 0
    When sessions 1 to 60 with <identification> begin
    And session version v1 is <event>
    Then sessions 1 to 60 with <identification> moved from v1 to v2 and stay there

    Examples:
      | event                | identification |
      | withdrawn            | a session id   |
      | withdrawn            | a token        |
      | no longer permitted  | a session id   |
      | no longer permitted  | a token        |

  Scenario: session choice only moves to the version whose weight grows
    Then session choices follow the weights and change only in favour of the version whose weight grows
