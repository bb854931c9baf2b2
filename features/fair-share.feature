@fair-share
Feature: Fair shares of a service that is short of capacity

  # Guards against a team with several times its load that takes the capacity of the others.
  Scenario Outline: <hogs> of 12 teams with 7.5 times their load take nothing from the others at <vms> VMs
    Given <vms> VMs with 120 slots at 80 % load from 12 teams
    When <hogs> of the teams send 7.5 times their load for 6000 ms
    Then every other team got at least 97 % of its responses in time
    And at least 85 % of the slots were used in time
    And most refusals of a team over its share came at once

    Examples:
      | vms | hogs |
      | 8   | 1    |
      | 8   | 2    |
      | 20  | 2    |

  # Guards against capacity that stays unused because only one team asks for it.
  Scenario: a team alone uses all capacity
    Given 8 VMs with 120 slots at 80 % load from 1 teams
    When 1 of the teams send 7.5 times their load for 6000 ms
    Then at least 85 % of the slots were used in time

  # Guards against a VM with some of the reports that takes the capacity of those it does not see.
  Scenario: VMs that are cut off from half of the others divide half of the capacity
    Given 8 VMs with 120 slots at 0 % load from 1 teams
    When 4 VMs are cut off and 10 requests of one team arrive at each of the others every 100 ms
    Then the others have 38 to 76 requests in flight together

  # Guards against a VM that goes on with the usage from before a pause.
  Scenario: a VM that was paused starts from its requests in flight
    Given 1 VMs with 30 slots at 0 % load from 1 teams
    When 10 requests start at a VM and it is paused for 3000 ms
    Then it reports 10 requests

  # Guards against refusals on arrival because nothing was placed while the process was paused.
  Scenario: a pause of the process is not taken for lost capacity
    When requests wait for a place each 100 ms, the VM is paused for 3000 ms while some wait, and another one arrives
    Then the second one is served

  # Guards against a VM without reports that takes the capacity of the others.
  Scenario: a VM that is cut off gives a team no more than its part of the fleet
    Given 4 VMs with 120 slots at 0 % load from 1 teams
    When a VM is cut off and 200 requests of one team arrive there
    Then that VM has at most 38 requests in flight

  # Guards against a team below its share that waits because its requests came to one VM.
  Scenario: a VM may exceed its part for a team below its share only
    Given 10 VMs with 80 slots at 0 % load from 1 teams
    When the others report 40 requests of a team below its share and 70 of one over it
    Then the VM admits 7 of the first team and 6 of the second at once

  # Guards against teams that are held to what is left when the others have not reported theirs yet.
  Scenario: a service is not divided before its teams are reported
    Given 10 VMs with 80 slots at 0 % load from 1 teams
    When the others report 200 requests without teams
    Then the VM admits 20 of each team at once

  # Guards against usage that stays counted after its VM died.
  Scenario: the usage of a dead VM decays
    Given 3 VMs with 12 slots at 0 % load from 1 teams
    When a VM reports usage and dies
    Then the others count all of it after 700 ms, a part after 1300 ms and nothing after 1600 ms

  # Guards against reports that grow with the number of teams where nobody competes.
  Scenario: teams are reported only where half of the slots are in use
    Given 3 VMs with 30 slots at 0 % load from 1 teams
    When 14 requests of a team are in flight at a VM
    Then the others count 0 requests
    When 2 requests of a team are in flight at a VM
    Then the others count 16 requests

  # Guards against a report that is counted twice.
  Scenario: a report that arrives twice or late counts once
    Given 3 VMs with 30 slots at 0 % load from 1 teams
    When a VM's report of 5 requests arrives twice, then late
    Then the others count 5 requests

  Scenario: max-min levels divide all capacity and take nothing from teams below them
    Then max-min levels hold for any demands

  # Guards against a queue that serves the team with the most requests, or only one kind.
  Scenario: the queue serves the team with the lowest usage and no kind starves
    Then the turns of the queue hold for any requests

  # Guards against callers that wait for a deadline that they cannot meet, and against refusals of requests that would be served.
  Scenario: a request is refused on arrival only if its wait is clearly beyond its time
    Given placements every 100 ms with estimates
    Then 5 requests ahead pass for 500 ms and 20 do not
    And the first request of a team is never refused
    And doubled waits double the estimate

  # Guards against refusals that apply to teams with measured placements only, and against an error that nobody sees.
  Scenario: a team without placements is judged by those of the service
    Given placements every 100 ms with estimates
    Then another team with 20 requests ahead in the order of all teams is refused at once and with 5 it is not
    And waits of 800 ms instead of 400 ms show an error of 400 ms

  # Guards against refusals during the pauses of limits that are counted over a second.
  Scenario: a pause between groups of placements is not taken for lost capacity
    Given groups of 10 placements every 1000 ms with estimates
    When no request of the team waits for 0 ms and then 5 wait for 900 ms
    Then the next request is admitted

  # Guards against refusals of requests that can start now, behind others that cannot.
  Scenario: a request that can start now is not refused for those ahead of it
    When 30 requests wait for backend servers of their sessions and one arrives that needs none of these
    Then the second one is served

  # Guards against the same through the queue.
  Scenario: a request that arrives behind another one after some seconds without a queue is served
    Given 1 VMs with 120 slots at 0 % load from 1 teams
    When requests wait for a place each 100 ms, none waits for 4 s, and then two arrive 10 ms apart while there is no room
    Then the second one is served

  # Guards against placements without a wait that make any wait look short, and that are logged as waits.
  Scenario: only requests that had to wait enter the estimate
    When 20 requests are placed at once by a clock that runs on, and then others wait for a place each 100 ms
    Then those placed at once have no wait, and the last ones are refused on arrival

  # Guards against refusals on arrival because the last request that had to wait was placed seconds ago.
  Scenario Outline: after 4 s in which no request waited, <count> that wait for <waited> ms leave the next one <result>
    Given placements every 100 ms with estimates
    When no request of the team waits for 4000 ms and then <count> wait for <waited> ms
    Then the next request is <result>

    Examples:
      | count | waited | result          |
      | 1     | 10     | admitted        |
      | 1     | 900    | refused at once |

  # Guards against callers refused together that return together or too late.
  Scenario: Retry-After follows the expected wait within a third of the time left
    Then Retry-After holds for any wait and time left

  # Guards against requests that no engine can hold and that wait for nothing.
  Scenario: tokens beyond the memory of every engine are refused at once
    Given 2 VMs with 30 slots at 0 % load from 1 teams
    When a request of 400001 tokens arrives
    Then it is refused at once as too large

  # Guards against loans that go to the team with the most requests while other VMs hold the limits.
  Scenario: loans are asked for in the order of the queue
    Given 1 VMs with 30 slots at 0 % load from 1 teams
    When 40 requests of one team and then one of another ask for scarce loans
    Then the other team gets one of the first 8 loans
    And at most 4 requests ask for loans at the same time

  # Guards against a VM that is told to share and does not, or that tells callers to return after their time.
  Scenario: a VM that shares tells a caller to return within a third of its time
    Given a VM that shares capacity and has no backend server
    When a caller with 600 ms left is refused
    Then Retry-After is at most 0.2 s
