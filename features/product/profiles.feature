Feature: Profiles as YAML documents
  All findings are reported together, each with its location.

  Scenario: A file with five errors results in five findings
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
    Then its findings are reported at
      | place              | about    |
      | profiles.yaml:1:7  | name     |
      | profiles.yaml:3:11 | services |
      | profiles.yaml:4:8  | hosts    |
      | profiles.yaml:6:11 | deadline |
      | profiles.yaml:7:1  | colour   |

  Scenario: A set of profiles with conflicts is refused with all findings
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
    Then its findings are reported at
      | place               | about          |
      | profiles.yaml:9:7   | pool           |
      | profiles.yaml:10:11 | services       |
      | profiles.yaml:13:8  | spare          |
      | profiles.yaml:5:17  | maxUnavailable |

  Scenario: A set of profiles that requires more hosts than the fleet has is refused
    Given a profile file
      """
      name: large
      pool: large
      services: [large]
      hosts: 41
      maxUnavailable: 1
      """
    When the profile file is applied to a fleet of 40 hosts
    Then the only finding names 41 required and 40 existing hosts

  Scenario: Any text results in profiles or findings, never in an exception
    Then 300 random profile files result in profiles or in findings with locations

  Scenario: Each field is explained and the published schema is up to date
    Given the example profiles
    Then every field of each profile is explained in a sentence
    And the published JSON Schema equals the generated one
