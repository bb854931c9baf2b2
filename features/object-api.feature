@object-api
Feature: Object API

  Scenario Outline: the object API client determines the outcome of a write whose response was lost: <operation>, <fault>
    Given an object API that contains Model/m
    And an object API fault: <fault> on <operation>
    When the object API client sends a <operation>
    Then the object API client reports <outcome>
    And in the end Model/m in the object API is <state>

    Examples:
      | operation | fault                                   | outcome              | state   |
      | create    | response dropped                        | success              | written |
      | update    | response dropped                        | success              | written |
      | delete    | response dropped                        | success              | absent  |
      | create    | write delayed until after a read        | success              | written |
      | update    | write delayed until after a read        | success              | written |
      | delete    | write delayed until after a read        | success              | absent  |
      | create    | write delayed until after the call      | object_write_unknown | written |
      | update    | write delayed until after the call      | object_write_unknown | written |
      | delete    | write delayed until after the call      | object_write_unknown | absent  |
      | create    | write delayed until after another write | object_exists        | other   |
      | update    | write delayed until after another write | object_conflict      | other   |
      | delete    | write delayed until after another write | object_conflict      | other   |

  Scenario Outline: the object API refuses a write without performing it: <operation>, <cause>
    Given an object API that contains Model/m
    When the object API client sends a <operation> that is refused because of <cause>
    Then the object API client reports <outcome>
    And in the end Model/m in the object API is original

    Examples:
      | operation | cause                | outcome                |
      | create    | an existing object   | object_exists          |
      | update    | an old version       | object_conflict        |
      | delete    | an old version       | object_conflict        |
      | update    | a value above 1 MB   | object_api_unavailable |
      | update    | a closed port        | object_api_unavailable |

  Scenario: a write during an object API outage that was already detected is reported as certainly not written
    Given an object API that contains Model/m
    And an object API outage that a read has detected
    When the object API client sends a update
    Then the object API client reports object_api_unavailable
    And the object API received no write during the outage
    And the object API client counted 2 retries of the read

  Scenario: an object API that hangs does not block the caller
    Given an object API that contains Model/m
    And an object API that hangs
    When the object API client sends a update
    Then the object API client reports object_write_unknown

  Scenario: an object API watch delivers changes and bookmarks of several kinds
    Given an object API that contains Model/m
    When an object API watch of Model and Version sees a create, an update and a delete
    Then the object API watch delivered "ADDED Version/v, MODIFIED Model/m, DELETED Version/v" and a bookmark of each kind

  Scenario Outline: an object API watch ends when it must be renewed: <cause>
    Given an object API that contains Model/m
    When an object API watch encounters <cause>
    Then the object API watch ends with <result>

    Examples:
      | cause                     | result      |
      | a compacted start version | object_gone |
      | a cut connection          | no error    |
      | a silent server           | no error    |

  # Guards against an answer that is taken for that to another request, because the connection is used again.
  Scenario Outline: a read of the object API gets its own answer when a second copy of the one before arrives <moment>
    Given an object API that sends a second answer <moment>
    When the object API client reads Model/m and then Model/n
    Then the object API client has got Model/m and Model/n

    Examples:
      | moment                                        |
      | with the first answer                         |
      | just after the first answer                   |
      | 2 s after the first answer                    |
      | in the same turn as the next request          |
      | right after the next request                  |
      | as a 408 in the same turn as the next request |
