Feature: Rate limits of backend servers in a fleet with more VMs than requests

  # Guards against a limit that is divided into parts of less than one request, so that most VMs cannot use most backend servers.
  Scenario Outline: of <requests> requests a second from <vms> VMs to 55 backend servers, nearly all go where they should
    Given <vms> VMs and 55 backend servers that bear 20 requests a second each
    When the VMs send <requests> requests a second to backend servers at random for 3000 ms
    Then at least <share> % of them were permitted
    And no backend server got more than 19 requests in any second

    Examples:
      | vms | requests | share |
      | 59  | 300      | 97    |
      | 195 | 300      | 97    |
      | 340 | 500      | 90    |

  # Guards against a limit that is exceeded because many VMs borrow at the same time.
  Scenario Outline: <vms> VMs that all send to one backend server stay within its limit
    Given <vms> VMs and 1 backend servers that bear 20 requests a second each
    When the VMs send 600 requests a second to backend servers at random for 4000 ms
    Then no backend server got more than 19 requests in any second
    And the backend servers got at least 10 requests a second

    Examples:
      | vms |
      | 17  |
      | 59  |
      | 195 |

  # Guards against a limit that is used twice while the VMs learn at different times that one of them has left or joined.
  Scenario Outline: the limit of <vms> VMs holds while <change>
    Given <vms> VMs and 1 backend servers that bear 20 requests a second each
    When <change>, known to each VM within 1000 ms
    And the VMs send 600 requests a second to backend servers at random for 5000 ms
    Then no backend server got more than 19 requests in any second

    Examples:
      | vms | change          |
      | 59  | 3 lenders leave |
      | 59  | 10 VMs join     |
      | 14  | 10 VMs join     |

  # Guards against links between all pairs of VMs, which cost more than the loans.
  Scenario: a VM borrows from few others, whichever backend servers it uses
    Given 195 VMs and 55 backend servers that bear 20 requests a second each
    When the VMs send 600 requests a second to backend servers at random for 5000 ms
    Then no VM has asked more than 12 others for loans

  Scenario: a VM that gets no answer from a lender asks another one
    Given 59 VMs and 55 backend servers that bear 20 requests a second each
    When 10 of the VMs do not answer any more
    And the VMs send 200 requests a second to backend servers at random for 3000 ms
    Then at least 90 % of them were permitted

  # Guards against a paused process that sends a request after the permission for it has run out.
  Scenario Outline: a loan is <state> after <pause>
    Given 59 VMs and 1 backend servers that bear 20 requests a second each
    When a VM borrows a request and then <pause>
    Then its loan is <state>

    Examples:
      | pause                   | state   |
      | 100 ms pass             | valid   |
      | 300 ms pass             | expired |
      | is frozen for 300 ms    | expired |

  Scenario Outline: a request for a loan of <body> is refused and counted <bad> times as bad input
    Given 59 VMs and 1 backend servers that bear 20 requests a second each
    Then a VM refuses the request for a loan <body>
    And it has counted <bad> bad requests for loans

    Examples:
      | body                     | bad |
      | null                     | 1   |
      | {"backendServer":7}      | 1   |
      | {"backendServer":"gone"} | 0   |

  # Guards against a loan that is used after what permitted the request has changed.
  Scenario Outline: a borrowed request is <result> if <event> while the lender answers
    Given a request to a service whose limits are lent
    When capacity is reserved for it and <event> while the lender answers
    Then the borrowed request is <result>

    Examples:
      | event                     | result   |
      | nothing changes           | used     |
      | the backend server leaves | not used |
      | the loan expires          | not used |
      | the request ends          | not used |

  # Guards against VMs that all choose the same backend server, because all know the same old loads.
  Scenario Outline: <vms> VMs that act on the same old loads do not choose the same backend server
    Given 55 backend servers in 6 data centres with loads from 4 to 12
    When each of <vms> VMs chooses a backend server by the same loads
    Then no backend server was chosen by more than <most> VMs
    And at least <local> of the VMs have chosen one in their own data centre

    Examples:
      | vms | most | local |
      | 195 | 20   | 65    |
      | 340 | 33   | 113   |
