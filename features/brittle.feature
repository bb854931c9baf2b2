Feature: Backend servers that fail if they must reject many requests

  # Guards against VMs that each send what only one of them has room for, so that brittle backend servers fall over.
  Scenario Outline: <vms> VMs under twice the load keep the rejections of each brittle backend server within its tolerance
    Given <vms> VMs and <servers> backend servers with <slots> slots each, under twice the load that these can serve
    When the backend servers say for 14 s that they tolerate <tolerated> rejections a second
    Then from 3 s later on each of them has rejected at most <tolerated> requests in any second
    And in the last 4 s at least four fifths of the slots were used

    Examples:
      | vms | servers | slots | tolerated |
      | 8   | 6       | 16    | 3         |
      | 8   | 6       | 16    | 0         |
      | 8   | 20      | 4     | 2         |
      | 89  | 12      | 8     | 5         |
      | 195 | 10      | 12    | 0         |

  # Guards against slots that are given out at the start of a brittle time although long requests of before still run there.
  Scenario Outline: <vms> VMs count the long requests that were sent before a brittle time
    Given <vms> VMs and <servers> backend servers with <slots> slots each, under twice the load that these can serve with requests of 5000 ms
    When the backend servers say for 8 s that they tolerate 0 rejections a second
    Then from 3 s later on each of them has rejected at most 0 requests in any second

    Examples:
      | vms | servers | slots |
      | 8   | 6       | 16    |
      | 195 | 8       | 16    |

  # Guards against VMs that keep testing a backend server whose slots are taken by requests that they do not know of.
  Scenario Outline: <vms> VMs rarely test brittle backend servers whose slots are taken
    Given <vms> VMs and <servers> backend servers with 8 slots each, under twice the load that these can serve
    When the backend servers say for 14 s that they tolerate <tolerated> rejections a second
    And requests of others take all slots for 8 s
    Then from 3 s later on each of them has rejected at most <tolerated> requests in any second

    Examples:
      | vms | servers | tolerated |
      | 8   | 6       | 8         |
      | 89  | 8       | 5         |
      | 195 | 10      | 5         |

  # Guards against a brittle time that never ends, because the VMs remind each other of it.
  Scenario: the limits end with the answers that name them
    Given 89 VMs and 12 backend servers with 8 slots each, under twice the load that these can serve
    When the backend servers say for 6 s that they tolerate 2 rejections a second
    And they do not say so any more for 8 s
    Then no VM takes any of them for brittle

  # Guards against a flood of a process that has just started, which has not yet said that it is brittle.
  Scenario: a backend server that starts anew is brittle until its answers say otherwise
    Given a VM and two brittle backend servers that tolerate 2 rejections a second
    When one of them leaves and another one starts
    Then the other one tolerates 2 rejections a second
    When an answer of the other one names no tolerated rejections
    Then the other one is not brittle, and the first one still is

  # Guards against a brittle time that an unreadable value starts or ends.
  Scenario: an unreadable tolerance is ignored and counted
    Given a VM and two brittle backend servers that tolerate 2 rejections a second
    When an answer of one of them names a tolerance that is unreadable
    Then both tolerate 2 rejections a second, and 1 bad input is counted

  # Guards against brittle backend servers that fall over again and again under load, which serves nobody.
  @brittle-vms
  Scenario: real VMs keep brittle backend servers up under twice their load
    Given 3 real VMs and 4 backend servers with 2 slots that fall over for 2 s at more than 1 rejection in a second
    When callers send twice what the backend servers can serve for 9 s
    Then the backend servers fall over at most 2 times
    And at least half of what they can serve is served
