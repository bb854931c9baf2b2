Feature: Membership

  Scenario: all members declare a killed member dead and the others stay live
    Given a membership group of 6 VMs
    When member vm-3 is killed
    And the membership group runs for 8000 ms
    Then the membership state of vm-3 is dead on all others
    And no membership change to dead happened except for vm-3

  Scenario Outline: a member in a group of <size> that is paused for <pause> ms is <state>, declares no other member dead and is live again after it resumes
    Given a membership group of <size> VMs
    When member vm-2 is paused
    And the membership group runs for <pause> ms
    Then the membership state of vm-2 is <state> on all others
    When member vm-2 resumes
    And the membership group runs for 8000 ms
    Then the membership state of every VM is live on all
    And no membership change to dead happened except for <dead>

    Examples:
      | size | pause | state   | dead   |
      | 5    | 1800  | suspect | nobody |
      | 5    | 9000  | dead    | vm-2   |
      | 2    | 1800  | suspect | nobody |
      | 2    | 9000  | dead    | vm-2   |

  Scenario: a VM that is paused while its ping is in flight suspects no other member
    Given a membership group of 2 VMs
    When member vm-2 is paused while its ping is in flight
    And the membership group runs for 1200 ms
    And member vm-2 resumes
    And the membership group runs for 3000 ms
    Then member vm-2 saw no change of vm-1

  Scenario: a VM that is paused after it suspected another member does not declare that member dead because of its own pause
    Given a membership group of 5 VMs
    When member vm-2 is paused
    And the membership group runs for 1800 ms
    And member vm-1 is paused
    And member vm-2 resumes
    And the membership group runs for 9000 ms
    And member vm-1 resumes
    And the membership group runs for 3000 ms
    Then no membership change to dead happened except for vm-1
    And the membership state of every VM is live on all

  Scenario Outline: indirect pings prevent suspicion when the link between two members is cut <kind>
    Given a membership group of 5 VMs
    When the membership link <cuts> is cut
    And the membership group runs for 30000 ms
    Then no membership change to suspect happened
    And at least one member counted indirect pings

    Examples:
      | kind      | cuts                 |
      | one way   | vm-1>vm-2            |
      | both ways | vm-1>vm-2, vm-2>vm-1 |

  Scenario Outline: after a partition of <duration> ms has healed, no member is declared dead and all are live again
    Given a membership group of 6 VMs
    When the membership group is split into vm-1,vm-2 and the rest
    And the membership group runs for <duration> ms
    Then vm-1 sees 2 members and vm-6 sees 4 members
    When the membership split heals
    And the membership changes so far are cleared
    And the membership group runs for 20000 ms
    Then the membership state of every VM is live on all
    And no membership change to dead happened except for nobody

    Examples:
      | duration |
      | 10000    |
      | 90000    |

  Scenario Outline: the new run of a restarted VM replaces the earlier one at once when its boot id sorts <order> the earlier boot id
    Given a membership group of 4 VMs
    When member vm-2 is killed
    And member vm-2 starts with boot id <boot>
    And the membership group runs for 600 ms
    Then the membership boot id of vm-2 is <boot> on all others
    And the membership state of every VM is live on all

    Examples:
      | order  | boot   |
      | after  | boot-z |
      | before | a-boot |

  Scenario Outline: a paused process of <vm> that was replaced by a new run is isolated after it resumes, so it takes no new work
    Given a membership group of <size> VMs
    When member <vm> is paused
    And the membership group runs for 9000 ms
    And member <vm> starts with boot id boot-z
    And the membership group runs for 2000 ms
    And the earlier process of <vm> resumes
    And the membership group runs for 2000 ms
    Then the earlier process of <vm> is isolated
    And the membership boot id of <vm> is boot-z on all others

    Examples:
      | vm   | size |
      | vm-2 | 4    |
      | vm-1 | 2    |

  Scenario: a leaving member stays leaving while it is suspected and after it refutes the suspicion
    Given a membership group of 5 VMs
    When member vm-4 leaves
    And the membership group runs for 2000 ms
    Then the membership state of vm-4 is leaving on all others
    When member vm-4 is paused
    And the membership group runs for 1800 ms
    Then the membership state of vm-4 is leaving on all others
    When member vm-4 resumes
    And the membership group runs for 3000 ms
    Then the membership state of vm-4 is leaving on all others
    And no member lists vm-4 as available

  Scenario Outline: a VM that reaches <reached> is isolated: <isolated>
    Given a membership group of <size> VMs
    When the membership group is split into vm-1 and the rest
    And vm-1 reaches the object API: <api>
    And the membership group runs for 6000 ms
    Then vm-1 is isolated: <isolated>
    When the membership split heals
    And the membership group runs for 6000 ms
    Then vm-1 is isolated: <after>

    Examples:
      | reached                                             | size | api | isolated | after |
      | neither a peer nor the object API                   | 4    | no  | yes      | no    |
      | only the object API                                 | 4    | yes | no       | no    |
      | only the object API and has no peer in its settings | 1    | yes | no       | no    |
      | nothing and has no peer in its settings             | 1    | no  | yes      | yes   |

  Scenario: the VM list neither makes a dead member live nor marks a new run of a leaving member as leaving
    Given a membership group of 4 VMs that read the VM list
    When member vm-3 is killed
    And the VM list shows vm-3 as live
    And the membership group runs for 8000 ms
    Then the membership state of vm-3 is dead on all others
    When the VM list shows vm-2 as leaving
    And the membership group runs for 3000 ms
    Then the membership state of vm-2 is leaving on all others
    When member vm-2 is killed
    And member vm-2 starts with boot id boot-z
    And the membership group runs for 3000 ms
    Then the membership state of vm-2 is live on all others

  Scenario: a VM without seeds in its settings joins through the VM list
    Given a membership group of 3 VMs that read the VM list
    When member vm-9 starts with the VM list as its only seed
    And the membership group runs for 5000 ms
    Then vm-9 sees 4 members and vm-1 sees 4 members

  Scenario: dead members are removed after a minute
    Given a membership group of 3 VMs
    When member vm-3 is killed
    And the membership group runs for 50000 ms
    And member vm-9 starts with boot id boot-9
    And the membership group runs for 20000 ms
    Then vm-1 has no record of member vm-3
    And vm-9 has no record of member vm-3

  Scenario Outline: a membership message that is <kind> is rejected and changes nothing
    Given a membership group of 2 VMs
    When vm-1 receives a membership message that is <kind>
    Then the membership message is rejected and counted as <reason>
    And vm-1 sees 2 members and vm-2 sees 2 members

    Examples:
      | kind                       | reason               |
      | not a gossip message       | membership_malformed |
      | from another sender        | membership_malformed |
      | from another region        | membership_region    |
      | encoded with invalid flags | membership_malformed |

  Scenario Outline: all members converge to live after random faults with seed <seed>
    Given a membership group of 7 VMs
    When 40 random membership faults happen with seed <seed>
    And the membership split heals
    And the membership group runs for 30000 ms
    Then the membership state of every VM is live on all

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: the membership merge is commutative, associative, idempotent and monotonic
    Then the membership merge laws hold for random records with seed 20261204

  Scenario: the membership decoders handle arbitrary input
    Then the membership decoders accept only valid messages and decode what the encoder sends, with seed 20261204

  @membership-process
  Scenario: a real process that is stopped by a signal declares no member dead after it continues
    Given a separate member process beside 3 members in the test process
    When the member process is stopped by a signal until all members of the test process declare it dead
    And the member process continues
    Then all members of the test process see the member process live again
    And the member process declared no member dead
