Feature: Permit client

  Scenario Outline: a permit whose answer <fault> is released
    Given a permit client of 2 VMs led by vm-1
    And a permit client network where the answer to "permit.request" <fault>
    When the permit client of vm-2 requests 1 permits
    And the permit client network recovers
    And the permit client waits 20000 ms
    Then the permit client of vm-2 holds 0 permits
    And the permit client leader has 0 permits in flight

    Examples:
      | fault                              |
      | takes 12000 ms                     |
      | takes 1100 ms                      |
      | is lost                            |

  Scenario: a permit may be used only within its start time, counted from the grant
    Given a permit client of 2 VMs led by vm-1
    And a permit client network where the answer to "permit.request" takes 400 ms
    When the permit client of vm-2 requests 1 permits
    Then the permit client of vm-2 may start it
    When the permit client waits 600 ms
    Then the permit client of vm-2 may not start it

  Scenario Outline: a release whose <part> is lost is sent again and applied once
    Given a permit client of 2 VMs led by vm-1
    And the permit client of vm-2 requests 4 permits
    When the permit client network loses <part> of "permit.release"
    And the permit client of vm-2 releases a permit twice
    And the permit client waits 1000 ms
    And the permit client network recovers
    And the permit client waits 1000 ms
    Then the permit client leader has 3 permits in flight

    Examples:
      | part    |
      | message |
      | answer  |

  Scenario: held permits are registered with a new leader, which gets no releases of its predecessor's term
    Given a permit client of 3 VMs led by vm-1
    And the permit client of vm-2 requests 4 permits
    When the permit client network loses message of "permit.release"
    And the permit client of vm-2 releases a permit twice
    And the permit client lease moves to vm-3
    And the permit client waits 2500 ms
    Then the permit client leader has 3 permits in flight
    When the permit client network recovers
    And the permit client of vm-2 releases a permit twice
    And the permit client waits 1000 ms
    Then the permit client leader has 2 permits in flight

  Scenario Outline: with the object API <api> and <leader>, local admission grants <admitted>
    Given a permit client of 3 VMs led by vm-1
    When the permit client object API is <api> and <leader>
    And the permit client waits <waited> ms
    And the permit client of vm-2 requests 1 permits
    Then the permit client of vm-2 has admitted <admitted> locally

    Examples:
      | api       | leader                                   | waited | admitted |
      | down      | the leader holds the lease               | 0      | 0        |
      | down      | the leader has lost the lease            | 0      | 1        |
      | available | the leader has lost the lease            | 0      | 0        |
      | down      | the leader died just now                 | 1000   | 0        |
      | down      | the leader died                          | 7000   | 1        |
      | down      | the leader is silent but lives           | 7000   | 0        |
      | down      | nobody holds the lease                   | 0      | 1        |
      | down      | another leader is known                  | 0      | 0        |

  Scenario Outline: the local shares of <vms> VMs add up to <slots> slots
    Given a permit client of <vms> VMs with <slots> slots led by vm-1
    When the permit client object API is down and the leader has lost the lease
    And the permit clients of all VMs request 20 permits and report first bytes
    Then the permit clients hold <slots> permits together

    Examples:
      | slots | vms |
      | 8     | 3   |
      | 2     | 5   |
      | 9     | 9   |

  Scenario Outline: local admission gives a backend server that <behaviour> at most <held> requests of one VM
    Given a permit client of 2 VMs with 16 slots led by vm-1
    When the permit client object API is down and the leader has lost the lease
    And the permit client of vm-2 requests 10 permits from a backend server that <behaviour>
    Then the permit client of vm-2 holds <held> permits

    Examples:
      | behaviour          | held |
      | does not answer    | 1    |
      | crashes            | 0    |
      | has restarted      | 2    |
      | keeps answering    | 8    |

  # Guards against a lost release: one that is added while a report is in flight must not be marked as sent with it.
  Scenario: permit reports that are added while another is in flight are sent next
    Given permit reports to a leader that takes 10 ms to answer
    When the permit reports "a", "b" and "c" are added, the last two while the first is in flight
    Then the permit reports reached the leader as "a" and "b c"
