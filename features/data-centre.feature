Feature: Data centre choice

  Scenario Outline: the data centre order is "<order>" when <situation>
    Given data centre choice between own, near and far with free slots everywhere
    When the data centres are ranked while <situation>
    Then the data centre order is "<order>"

    Examples:
      | situation                                  | order           |
      | nothing is wrong                           | own, near, far  |
      | own is out of service                      | near, far       |
      | own does not serve the version             | near, far       |
      | the backend servers of own are leaving     | near, far       |
      | own already refused                        | near, far       |
      | the version is withdrawn                   |                 |
      | own has no free slot                       | near, own, far  |
      | own and near have a queue of one second    | far, own, near  |
      | the leader of own grants no permits        | near, far, own  |
      | own has sent no recent summary             | near, far, own  |
      | the team has used its share of own         | near, far, own  |
      | the team has used its whole limit          | own, near, far  |

  Scenario: a data centre that returns to service receives load in proportion to its warm backend servers
    Given data centre choice between own, near and far with free slots everywhere
    When the data centres are ranked 2000 times with seed 7 while 1 of 4 backend servers of own are warm
    Then own is the first data centre about 500 times
