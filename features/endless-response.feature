@endless
Feature: Responses without end

  # Guards against VMs that are ended for their memory, because a few bytes of a response keep the whole read that they came in.
  Scenario Outline: <callers> callers of a backend server that sends <bytes> without end take at most <mb> MB of a VM
    Given a forwarding VM with a backend server that sends <bytes> without end
    When <callers> callers send a request to <path>, and the VM is measured for 2 s
    Then it holds at most <mb> MB for them

    Examples:
      | callers | bytes                   | path                    | mb |
      | 1       | repeated events         | /stream/ after event 50 | 8  |
      | 100     | repeated events         | /stream/ after event 50 | 60 |
      | 1       | comments in tiny chunks | /stream/                | 8  |
      | 100     | comments in tiny chunks | /stream/                | 60 |
      | 1       | an event in tiny chunks | /stream/                | 8  |
      | 100     | an event in tiny chunks | /stream/                | 60 |
      | 1       | blank lines             | /stream/                | 8  |
      | 100     | blank lines             | /stream/                | 60 |
      | 1       | a body in tiny chunks   | /order/                 | 8  |
      | 100     | a body in tiny chunks   | /order/                 | 60 |
      | 100     | low-confidence comments | /cascade/               | 60 |

  # Guards against VMs that answer nobody for seconds, because a backend server sends many small pieces.
  Scenario Outline: <callers> callers of a backend server that sends <bytes> without end stop a VM for at most 250 ms
    Given a forwarding VM with a backend server that sends <bytes> without end
    When <callers> callers send a request to <path>, and the VM is measured for 3 s
    Then no turn of its event loop takes longer than 250 ms

    Examples:
      | callers | bytes                   | path                    |
      | 1       | repeated events         | /stream/ after event 50 |
      | 100     | repeated events         | /stream/ after event 50 |
      | 1       | comments in tiny chunks | /stream/                |
      | 100     | comments in tiny chunks | /stream/                |
      | 1       | an event in tiny chunks | /stream/                |
      | 100     | an event in tiny chunks | /stream/                |
      | 1       | blank lines             | /stream/                |
      | 100     | blank lines             | /stream/                |
      | 100     | a body in tiny chunks   | /order/                 |
      | 100     | low-confidence comments | /cascade/               |
      | 100     | zeros of a chunk size   | /stream/                |

  # Guards against unfinished events that grow although the byte budget is used up.
  Scenario: an event without end is read no further while there is no room
    When an event without end arrives and others hold the whole byte budget
    Then at most 256 KB of it are read until they give it back, and more after that
