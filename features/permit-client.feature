Feature: Permit client

  Scenario Outline: a permit is released when the answer that grants it <fault>
    Given permit clients on 2 VMs led by vm-1
    And a permit client network on which the answer to "permit.request" <fault>
    When the permit client of vm-2 requests 1 permit
    And the permit client network recovers
    And the permit clients run for 20000 ms
    Then the permit client of vm-2 holds 0 permits
    And the leader of the permit clients has 0 permits in flight

    Examples:
      | fault                              |
      | takes 12000 ms                     |
      | takes 1100 ms                      |
      | is lost                            |

  Scenario: the request of a permit may start only within a limited time after the grant
    Given permit clients on 2 VMs led by vm-1
    And a permit client network on which the answer to "permit.request" takes 400 ms
    When the permit client of vm-2 requests 1 permit
    Then the permit client of vm-2 may start the request
    When the permit clients run for 600 ms
    Then the permit client of vm-2 may not start the request

  Scenario Outline: a release whose <part> is lost is sent again and applied once
    Given permit clients on 2 VMs led by vm-1
    And the permit client of vm-2 requests 4 permits
    When the permit client network loses the <part> of "permit.release"
    And the permit client of vm-2 releases a permit twice
    And the permit clients run for 1000 ms
    And the permit client network recovers
    And the permit clients run for 1000 ms
    Then the leader of the permit clients has 3 permits in flight

    Examples:
      | part    |
      | message |
      | answer  |

  Scenario: held permits are registered with a new leader, which gets no releases of its predecessor's epoch
    Given permit clients on 3 VMs led by vm-1
    And the permit client of vm-2 requests 4 permits
    When the permit client network loses the message of "permit.release"
    And the permit client of vm-2 releases a permit twice
    And the leader lease of the permit clients moves to vm-3
    And the permit clients run for 2500 ms
    Then the leader of the permit clients has 3 permits in flight
    When the permit client network recovers
    And the permit client of vm-2 releases a permit twice
    And the permit clients run for 1000 ms
    Then the leader of the permit clients has 2 permits in flight

  Scenario Outline: when the object API is <api> and <leader>, local admission grants <admitted> requests
    Given permit clients on 3 VMs led by vm-1
    When the object API of the permit clients is <api> and <leader>
    And the permit clients run for <waited> ms
    And the permit client of vm-2 requests 1 permit
    Then the permit client of vm-2 has admitted <admitted> requests locally

    Examples:
      | api       | leader                                   | waited | admitted |
      | down      | the leader holds the lease               | 0      | 0        |
      | down      | the leader has lost the lease            | 0      | 1        |
      | available | the leader has lost the lease            | 0      | 0        |
      | down      | the leader died just now                 | 1000   | 0        |
      | down      | the leader died                          | 7000   | 1        |
      | down      | the leader is silent but alive           | 7000   | 0        |
      | down      | no VM holds the lease                    | 0      | 1        |
      | down      | another leader is known                  | 0      | 0        |

  Scenario Outline: the local shares of <vms> VMs add up to <slots> slots
    Given permit clients on <vms> VMs with a backend server of <slots> slots, led by vm-1
    When the object API of the permit clients is down and the leader has lost the lease
    And the permit clients of all VMs request 20 permits and report first bytes
    Then the permit clients hold <slots> permits together

    Examples:
      | slots | vms |
      | 8     | 3   |
      | 2     | 5   |
      | 9     | 9   |

  Scenario Outline: local admission gives a backend server that <behaviour> at most <held> requests of one VM
    Given permit clients on 2 VMs with a backend server of 16 slots, led by vm-1
    When the object API of the permit clients is down and the leader has lost the lease
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
