Feature: Profiles as YAML documents
  An operator sees every finding with its place at once.

  Scenario: A file with five mistakes gives five findings
    Given a profile file
      """
      name: Planner
      pool: planner-api
      services: []
      hosts: 0
      maxUnavailable: 1
      deadline: soon
      colour: blue
      """
    When the profile file is checked
    Then its findings stand at
      | place              | about    |
      | profiles.yaml:1:7  | name     |
      | profiles.yaml:3:11 | services |
      | profiles.yaml:4:8  | hosts    |
      | profiles.yaml:6:11 | deadline |
      | profiles.yaml:7:1  | colour   |

  Scenario: A set that can't hold together is refused with all findings
    Given a profile file
      """
      name: first
      pool: shared
      services: [lookup]
      hosts: 4
      maxUnavailable: 0
      spare: true
      ---
      name: second
      pool: shared
      services: [lookup]
      hosts: 4
      maxUnavailable: 1
      spare: true
      """
    When the profile file is checked
    Then its findings stand at
      | place               | about          |
      | profiles.yaml:9:7   | pool           |
      | profiles.yaml:10:11 | services       |
      | profiles.yaml:13:8  | spare          |
      | profiles.yaml:5:17  | maxUnavailable |

  Scenario: A set that counts on more hosts than the fleet has is refused
    Given a profile file
      """
      name: large
      pool: large
      services: [large]
      hosts: 41
      maxUnavailable: 1
      """
    When the profile file is applied to a fleet of 40 hosts
    Then the fleet's findings name 41 and 40 hosts

  Scenario: Any text gives profiles or findings, never a failure
    Then 300 random profile files give profiles or findings with places

  Scenario: Each field is explained and the published schema is current
    Given the example profiles
    Then every field of each profile is explained in a sentence
    And the published JSON Schema is that of the program
