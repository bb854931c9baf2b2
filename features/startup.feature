@startup
Feature: The start of a forwarding VM

  # Guards against requests that are refused or overtaken although the VM serves them shortly.
  Scenario: requests that arrive before the lists wait in order and are served when they are loaded
    Given a VM whose process started 100 ms ago
    When the requests 1, 2, 3 with 5000 ms arrive
    And 200 ms pass until it has loaded its lists
    And the limits are usable
    And request 4 with 5000 ms arrives
    Then the requests 1, 2, 3, 4 are served in this order

  # Guards against a service that waits for the cold-start limits of another one.
  Scenario: only requests to services with a cold-start rate wait for the limits
    Given a VM whose process started 100 ms ago
    When the requests 1, cold-2, 3 with 5000 ms arrive
    And 200 ms pass until it has loaded its lists
    Then the requests 1, 3 are served in this order
    When the limits are usable
    Then the requests 1, 3, cold-2 are served in this order

  # Guards against memory that grows with the callers that come back at once.
  Scenario Outline: the queue holds at most <what>
    Given a VM whose process started 100 ms ago, with a queue for 3 requests and 1000 bytes
    When <count> requests of <bytes> bytes arrive
    Then <waiting> of them wait and <refused> are refused
    When the callers disconnect
    And <count> requests of <bytes> bytes arrive
    Then <waiting> of them wait and <refused> are refused

    Examples:
      | what       | count | bytes | waiting | refused |
      | 3 requests | 5     | 10    | 3       | 2       |
      | 1000 bytes | 3     | 400   | 2       | 1       |

  # Guards against callers that wait in vain and then have no time left to retry.
  Scenario Outline: a request with <ms> ms is <result> if the VM expects 300 ms for its lists
    Given a VM whose process started 100 ms ago
    When request 1 with <ms> ms arrives
    Then it is <result> at once

    Examples:
      | ms  | result     |
      | 500 | refused    |
      | 700 | kept       |

  # Guards against requests that wait until their deadline for a store that is away.
  Scenario: a request that waits is refused as soon as the start takes too long for it
    Given a VM whose process started 100 ms ago
    When request 1 with 2000 ms arrives
    And 800 ms pass without the lists
    Then request 1 is refused

  # Guards against requests whose connections close without an answer, because they wait for a VM that is leaving.
  Scenario: requests that wait when the VM stops are refused at once, and so are later ones
    Given a VM whose process started 100 ms ago
    When request 1 with 60000 ms arrives
    And the VM stops
    And request 2 with 60000 ms arrives
    Then requests 1 and 2 are refused
    And refused callers may return between 0 ms and 400 ms, at different times

  # Guards against callers that return too early, or all at the same time.
  Scenario: a refused caller may return when the VM expects to be ready, at random times after that
    Given a VM whose process started 100 ms ago
    Then refused callers may return between 950 ms and 1600 ms, at different times
    When 300 ms pass until it has loaded its lists
    Then refused callers may return between 650 ms and 1100 ms, at different times

  # Guards against starts whose slow step nobody can name.
  Scenario: the timeline is one line with the time of each step since the process start
    Given a VM whose process started 100 ms ago
    When 200 ms pass until it has loaded its lists
    And request 1 with 5000 ms arrives
    And the limits are usable
    And a request is served
    And 60000 ms pass without the lists
    Then the log has one timeline with process 40, settings 100, loaded 300, accepted 300, limits 1050, served 1050

  # Guards against a start that is not logged because it does not end.
  Scenario: the timeline is written without the steps that are missing after 30 s
    Given a VM whose process started 100 ms ago
    When 31000 ms pass without the lists
    Then the log has one timeline with process 40, settings 100, limits 1060

  # Guards against a slow load of the program that delays the use of the limits a second time.
  Scenario: a VM that restarts counts the window of the limits from the start of its process
    Given a VM that was registered before and whose process started 400 ms ago
    Then its share of the limits counts from the start of the process

  # Guards against a VM that uses its share of the limits while the others, which have removed its entry, use it as well.
  Scenario: a VM whose earlier entry is removed while it starts counts the window from its own entry
    Given a VM that was registered before, whose entry is removed before it can replace it
    Then its share of the limits counts from the time of its own entry

  # Guards against calls of each VM at a power loss for an entry that it has read already, and against a share of the limits that it takes too early.
  Scenario Outline: a VM that has read its earlier entry registers with <calls>
    Given a VM that starts when the list has its earlier entry, <change>
    Then it has registered with the calls <calls>
    And its share of the limits counts from <from>

    Examples:
      | change                                    | calls           | from                         |
      | with nothing changed                      | replace         | the start of the process     |
      | which is removed before it can replace it | replace, create | the time of its own entry    |

  # Guards against a VM that waits up to 1.5 s for a load report to know that its configuration is the latest.
  Scenario Outline: a VM that starts with version 2 is settled <when> if others run <versions>
    Given a VM that has loaded version 2 and knows VMs that run <versions>
    Then it is settled <when>

    Examples:
      | versions | when          |
      | 2, 2     | within 100 ms |
      | none, 2  | within 100 ms |
      | 2, 3     | after 2000 ms |
      | none     | after 2000 ms |

  # Guards against a VM that meets the others only after 2 s, because it read the key of the links before their entries.
  Scenario: a VM that reads the list of the VMs late contacts them at once
    Given a VM that starts and reads the entry of another one after 150 ms
    Then it contacts the other one within 500 ms of its start

  # Guards against a VM that is held back as a whole by one service with a cold-start rate.
  Scenario: a VM that restarts serves a service without a cold-start rate at once, and the other after the window
    Given a forwarding VM that restarts with a cold and a plain service
    Then the VM becomes ready within 700 ms of its start
    When a caller sends a request to each of both services
    Then the plain service is served before the window of the cold-start limit is over, the cold one after it

  # Guards against withdrawn keys, leaving servers and limits that do not hold for requests that waited for the start.
  Scenario Outline: a request that waits for a start gets <status> if <change> meanwhile
    Given a forwarding VM that restarts with a cold and a plain service
    When a caller sends a request to the cold service and <change>
    Then the caller gets the status <status>
    And the cold service got <received> requests

    Examples:
      | change              | status | received |
      | nothing changes     | 200    | 1        |
      | its key is withdrawn | 401   | 0        |
      | its server leaves   | 503    | 0        |

  # Guards against bodies over the limit that pass because they arrive before the limit is known.
  Scenario: a body over the limit that arrives before the configuration is refused
    Given a forwarding VM whose store is away for 250 ms
    When a caller sends a body of 1001 bytes
    Then the caller gets the status 413

  # Guards against callers that wait for a store that is away, or are refused though it is back in their time.
  Scenario Outline: a VM that starts while the store <fault> serves <what> when it answers again
    Given a forwarding VM whose store <fault>
    When a caller sends a body of 10 bytes
    Then the caller gets the status <status>
    And the VM serves a request within 1500 ms after the store answers again

    Examples:
      | fault                 | what                     | status |
      | is away for 250 ms    | the request that waited  | 200    |
      | is away for 3000 ms   | new requests             | 503    |

  # Guards against a large configuration that is read several times.
  Scenario: a VM that starts with a configuration of 200 KB is ready within 700 ms
    Given a forwarding VM that restarts with a configuration of 200000 bytes
    Then the VM becomes ready within 700 ms of its start
    # Six lists, five calls for its entry and the key, and the first poll of each kind, as there is no relay.
    And it has called the store at most 17 times
