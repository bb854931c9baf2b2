@fault-proxy
Feature: Fault proxy and VM list stand-ins

  Scenario Outline: a client of the fault proxy with <faults> sees <seen>
    Given a fault proxy in front of an echo server
    When the fault proxy gets the faults <faults> over its control port
    And a proxy client sends "0123456789"
    Then the proxy client sees <seen>
    And the proxy target received "<received>"

    Examples:
      | faults                | seen                   | received   |
      | {}                    | the answer             | 0123456789 |
      | {"delayMs":20}        | the answer             | 0123456789 |
      | {"refuse":true}       | a reset                |            |
      | {"cut":"request"}     | nothing until a reset  |            |
      | {"cut":"answer"}      | nothing until a reset  | 0123456789 |
      | {"cut":"both"}        | nothing until a reset  |            |
      | {"frozen":true}       | nothing until unfrozen | 0123456789 |
      | {"resetAfterBytes":4} | 4 bytes and the end    | 0123456789 |
      | {"dropAnswer":true}   | a reset                | 0123456789 |

  Scenario: readers of the VM list see changes after its lag
    Given a VM list with a lag of 2000 ms
    When the VM list stand-in is set so that vm-1 is leaving
    Then the VM list reader sees no VM
    When 2000 ms pass on the VM list clock
    Then the VM list reader sees vm-1 leaving
