Feature: Admission

  Scenario Outline: <senders> VMs share the cold allowance of <allowance> of one backend server
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of <allowance>
    When the scheduler gets requests from <senders> VMs for 5 permits each
    Then the scheduler has granted <allowance> permits
    And the scheduler has overloaded no cold backend server
    When the backend servers of the scheduler become warm
    Then the scheduler has granted 8 permits

    Examples:
      | senders | allowance |
      | 8       | 1         |
      | 8       | 2         |
      | 3       | 3         |

  Scenario Outline: a warm backend server that <event> without notice gets no more than its cold allowance
    Given the scheduler manages 1 warm backend server with 8 slots and a cold allowance of 1
    And the scheduler has 6 running requests
    When the backend server of the scheduler <event> without notice
    And the scheduler gets requests from 8 VMs for 2 permits each
    And the scheduler detects this by <sign>
    Then the scheduler has overloaded no cold backend server
    And the scheduler has counted a cold start with the reason <reason>

    Examples:
      | event      | sign                     | reason   |
      | restarts   | a probe                  | instance |
      | restarts   | a first byte             | instance |
      | restarts   | lost connections         | instance |
      | turns cold | a probe                  | report   |
      | turns cold | a late first byte        | report   |

  Scenario: a lost connection marks a backend server cold before a probe is answered
    Given the scheduler manages 1 warm backend server with 8 slots and a cold allowance of 1
    And the scheduler has 3 running requests
    And the health probes of the scheduler take 100 ms
    When a running request of the scheduler loses its connection
    And the scheduler gets requests from 4 VMs for 1 permit each
    Then the scheduler has granted 3 permits
    And the scheduler has counted a cold start with the reason crash

  Scenario: a probe that was in flight when a connection was lost does not mark the backend server warm
    Given the scheduler manages 1 warm backend server with 8 slots and a cold allowance of 1
    And the health probes of the scheduler take 100 ms
    And the scheduler has 1 running request
    When a running request of the scheduler loses its connection
    And the scheduler runs for 100 ms
    Then the scheduler counts 0 backend servers as warm

  Scenario Outline: while probes time out and <answers> of 7 requests get first bytes, <warm> backend servers count as warm
    Given the scheduler manages 1 warm backend server with 16 slots and a cold allowance of 1
    And the scheduler has 7 running requests
    And the health probes of the scheduler time out
    When the scheduler gets requests from 1 VM for 1 permit each
    And the scheduler gets the first bytes of <answers> running requests, one every 400 ms
    And the scheduler runs for <rest> ms
    Then the scheduler counts <warm> backend servers as warm
    When the scheduler gets requests from 3 VMs for 1 permit each
    Then the scheduler has granted 8 permits

    Examples:
      | answers | rest | warm |
      | 7       | 0    | 1    |
      | 0       | 2800 | 0    |

  Scenario: a first byte of the previous instance does not mark the new one cold
    Given the scheduler manages 1 warm backend server with 8 slots and a cold allowance of 1
    And the scheduler has 2 running requests
    When the backend server of the scheduler restarts and reports warm without notice
    And the scheduler runs for 5000 ms
    And the scheduler gets a first byte from the previous instance
    Then the scheduler has counted a cold start with the reason instance
    And the scheduler counts 1 backend server as warm

  Scenario: a backend server that restarts and reports warm at once is ramped up again
    Given the scheduler manages 1 warm backend server with 8 slots and a cold allowance of 1
    When the backend server of the scheduler restarts and reports warm without notice
    And the scheduler gets requests from 8 VMs for 1 permit each
    Then the scheduler has granted 1 permit
    When the scheduler runs for 2500 ms
    Then the scheduler has granted 8 permits

  Scenario Outline: load reports that lag <lag> ms do not change the number of free slots
    Given the scheduler manages 1 warm backend server with 4 slots, a cold allowance of 4 and reports that lag <lag> ms
    When the scheduler grants 12 requests in groups of 4, each after the previous one has ended
    Then the scheduler has granted 12 permits
    And the summary of the scheduler shows 4 free slots

    Examples:
      | lag |
      | 0   |
      | 900 |

  Scenario Outline: a new leader that <registration> of its predecessor's permits causes <overloads> overloads
    # The load reports lag behind by more than the takeover wait, so only the registration shows the running requests.
    Given the scheduler manages 2 cold backend servers with 8 slots, a cold allowance of 1 and reports that lag 5000 ms
    And the scheduler has 2 running requests
    When the scheduler of a new leader takes over and <registration> of the held permits
    And the scheduler runs until its takeover wait is over
    And the scheduler gets requests from 2 VMs for 1 permit each
    Then the scheduler has overloaded cold backend servers <overloads> times

    Examples:
      | registration      | overloads |
      | is told           | 0         |
      | is not told       | 2         |

  Scenario: a new leader counts a request that started late before its first grant
    Given the scheduler manages 1 cold backend server with 8 slots, a cold allowance of 1 and reports that lag 1000 ms
    When the health probes of the scheduler take 100 ms
    And the scheduler grants a permit, the scheduler of a new leader takes over, and the request starts 900 ms later
    And the scheduler runs for 1100 ms
    And the scheduler gets requests from 2 VMs for 1 permit each
    And the scheduler runs for 500 ms
    Then the scheduler has overloaded no cold backend server

  Scenario: a registered permit whose request never starts is not counted as the request of a dead VM
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 2
    And the scheduler has 2 running requests
    When the scheduler of a new leader takes over with one registered permit whose request never started
    And the scheduler runs until its takeover wait is over
    And the permit whose request never started is released as not sent
    And the scheduler gets requests from 3 VMs for 1 permit each
    Then the scheduler has granted 3 permits
    And the scheduler has overloaded no cold backend server

  Scenario: a new leader refuses requests until its predecessor's permits have expired and returns the remaining time
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 1
    When the scheduler of a new leader takes over and is told of the held permits
    And the scheduler runs for 1500 ms
    And the scheduler gets requests from 1 VM for 1 permit each
    Then the scheduler refused the last request with "settling" and a retry time of 500 ms

  Scenario: a leader whose lease expired during a pause grants nothing
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 1
    And the scheduler has 1 running request
    And the scheduler has a queued request
    When the scheduler loses its lease during a pause and a running request ends
    Then the scheduler refused the last request with "not_leader" and a retry time of 250 ms

  # The permit is reclaimed once the time for its start and the report lag have passed, if the backend server no longer
  # reports the request.
  Scenario Outline: when a VM <event> and the backend server <case>, <granted> permits are granted within <waited> ms
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 1
    And the scheduler has 1 running request
    And the scheduler has a queued request
    When the scheduler learns that the VM with the running request <event>
    And the scheduler runs for <waited> ms while the backend server <case>
    Then the scheduler has granted <granted> permits
    And the scheduler has overloaded no cold backend server

    Examples:
      | event     | case                      | waited | granted |
      | died      | has dropped the request   | 1900   | 1       |
      | died      | has dropped the request   | 2600   | 2       |
      | died      | still runs the request    | 9000   | 1       |
      | restarted | has dropped the request   | 2600   | 2       |

  Scenario Outline: a release that arrives <order> frees at most one slot
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 2
    And the scheduler has 2 running requests
    When the scheduler gets a release <order>
    And the scheduler gets requests from 3 VMs for 1 permit each
    Then the scheduler has granted <granted> permits
    And the scheduler has overloaded no cold backend server

    Examples:
      | order                                        | granted |
      | twice                                        | 3       |
      | from another VM                              | 2       |
      | before the registration with a new leader    | 3       |

  Scenario Outline: a queued request is refused with <reason> when the <object> is <change>
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 1
    And the scheduler has 1 running request
    And the scheduler has a queued request
    When the <object> of the scheduler is <change>
    Then the scheduler refused the last request with "<reason>" and a retry time of 250 ms

    Examples:
      | object         | change                | reason            |
      | version        | withdrawn             | withdrawn         |
      | backend server | drained               | no_backend_server |
      | data centre    | taken out of service  | out_of_service    |

  Scenario Outline: a request based on a newer configuration that <case> is <outcome>
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 1
    When the scheduler gets a request based on a newer configuration that <case>
    Then the scheduler <outcome> the last request

    Examples:
      | case                  | outcome |
      | arrives after 100 ms  | granted |
      | does not arrive       | refused |
      | withdraws the version | refused |

  Scenario Outline: <contenders> share the grants by weight
    Given the scheduler manages 1 warm backend server with 4 slots and a cold allowance of 4
    And the scheduler has contracts of weight 1 for team-1 and 3 for team-2
    When the scheduler gets 60 requests of each of "<contenders>" and grants 40
    Then the scheduler granted about <first> of the first and <second> of the second

    Examples:
      | contenders                     | first | second |
      | team-1 normal and team-2 normal | 10    | 30     |
      | team-1 urgent and team-1 batch  | 37    | 3      |
      | team-1 normal and team-1 batch  | 32    | 8      |

  Scenario: within a team the earliest deadline goes first
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 1
    And the scheduler has 1 running request
    When the scheduler gets requests that may wait 9000, 3000 and 6000 ms
    Then the scheduler grants them in the order 3000, 6000, 9000

  Scenario: a request that cannot start before its deadline is refused at once with a retry time
    Given the scheduler manages 1 warm backend server with 4 slots and a cold allowance of 4
    And the scheduler has measured that a request takes 1000 ms
    And the scheduler has 4 running requests
    When the scheduler gets 40 requests that may wait 2000 ms
    Then the scheduler refused 32 of them at once
    And the scheduler grants a request that is repeated after the longest retry time

  Scenario Outline: <granted> of <retries> retries are granted after <first> first attempts
    Given the scheduler manages 1 warm backend server with 300 slots and a cold allowance of 300
    When the scheduler grants <first> first attempts and gets <retries> retries
    Then the scheduler has granted <granted> retries and counted the others as refused with "retry_budget"

    Examples:
      | first | retries | granted |
      | 200   | 50      | 20      |
      | 2     | 15      | 10      |

  Scenario Outline: <case> requests go to <servers> backend servers with <slots> slots
    Given the scheduler manages 3 warm backend servers with <slots> slots and a cold allowance of <slots>
    When the scheduler gets 3 <case> requests with the same prompt prefix
    Then the scheduler has granted <granted> permits
    And the scheduler has distributed them over <servers> backend servers

    Examples:
      | case                      | slots | granted | servers |
      | ordinary                  | 8     | 3       | 1       |
      | identical                 | 1     | 3       | 3       |
      | identical short           | 8     | 3       | 1       |
      | identical suspect         | 8     | 3       | 1       |
      | identical suspect         | 1     | 1       | 1       |
      | different suspect         | 8     | 3       | 3       |
      | reported suspect          | 8     | 3       | 3       |

  Scenario Outline: a prefix index that is notified of <events> expects <share> of the prompt in the cache
    Given a prefix index of a backend server to which a prompt of 4 blocks was sent
    When the prefix index is notified of <events>
    Then the prefix index expects <share> of the prompt in the cache

    Examples:
      | events                                        | share |
      | nothing                                       | 1     |
      | the removal of the longest prefix             | 0.75  |
      | a gap                                         | 0.5   |
      | a gap and the prefix again                    | 1     |
      | an older event with the removal of everything | 1     |

  Scenario: a quarantined request is refused
    Given the scheduler manages 1 warm backend server with 8 slots and a cold allowance of 1
    When the scheduler gets a quarantined request
    Then the scheduler refused the last request with "quarantined" and a retry time of 600000 ms

  Scenario: leaders without summaries of each other exceed a team limit by at most the number of data centres minus 1
    Given the schedulers of 4 data centres have no summaries of each other and a team limit of 10
    When the scheduler of each data centre gets 10 requests
    Then the schedulers of all data centres have granted 12 permits together

  Scenario: requests of a team at its limit wait and do not block other teams
    Given the scheduler manages 1 warm backend server with 8 slots and a cold allowance of 8
    And the scheduler has a limit of 2 concurrent requests for team-1
    When the scheduler gets 3 requests of team-1 and 2 of team-2
    Then the scheduler has granted 4 permits
    When the scheduler runs for 10000 ms
    Then the scheduler refused request 3 of team-1 with "team_limit"

  Scenario: a full queue evicts the last request of the team with the most waiting requests
    Given the scheduler manages 1 cold backend server with 8 slots and a cold allowance of 1
    And the scheduler has a queue limit of 4
    And the scheduler has 1 running request
    When the scheduler gets 4 requests of team-1 and 1 of team-2
    Then the scheduler refused request 4 of team-1 with "queue_full"

  Scenario: no interleaving of grants, releases, deaths and takeovers overloads a cold backend server
    When the scheduler runs random interleavings with seed 20261204
    Then the scheduler has overloaded no cold backend server in any of them
