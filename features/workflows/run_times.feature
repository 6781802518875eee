Feature: Run times of images that differ
  Declarations are rough, tasks of one image behave alike, and a few percent of
  them run many times longer than their like.

  Scenario: Without recorded runs the declaration counts
    Given no recorded runs
    Then a run of image "a" declared as 1000 ms is expected to take 1000 ms
    And it seldom exceeds a factor of 2 to 4 of that
    And a run declared as 0 ms is expected to take 0 ms

  Scenario: Images that share a queue are told apart
    Given no recorded runs
    When 200 runs of image "a" take 1.0 times and 200 of image "b" 4.0 times what they declare
    Then a run of image "a" declared as 1000 ms has a median within 15 % of 1000 ms
    And a run of image "b" declared as 1000 ms has a median within 15 % of 4000 ms

  Scenario: An image with few runs is expected to behave like its queue
    Given no recorded runs
    When 200 runs of image "a" take 2.0 times what they declare
    And 1 run of image "b" takes 8.0 times what it declares
    Then a run of image "b" declared as 1000 ms has a median between 2000 and 5000 ms
    And a run of image "c" declared as 1000 ms has a median within 15 % of 2000 ms

  Scenario: Declarations that say nothing give way to the mean of the image
    Given no recorded runs
    When 200 runs of image "a" take 1500 ms whatever they declare
    Then a run of image "a" declared as 400 ms has a median within 25 % of 1500 ms
    And a run of image "a" declared as 4000 ms has a median within 25 % of 1500 ms

  Scenario: Stragglers raise the mean but neither the median nor the long run time
    Given no recorded runs
    When 400 runs of image "a" take 1.0 times what they declare, but 3 % of them 7 times as long
    Then a run of image "a" declared as 1000 ms has a median within 15 % of 1000 ms
    And the mean of image "a" exceeds its median by 5 to 45 %
    And a straggler of image "a" exceeds the long run time, and 9 of 10 others do not

  Scenario: A lasting change of all runs is learned
    Given no recorded runs
    When 400 runs of image "a" take 1.0 times what they declare
    And 400 runs of image "a" take 5.0 times what they declare
    Then a run of image "a" declared as 1000 ms has a median within 30 % of 5000 ms

  Scenario: The memory for image names is bounded
    Given no recorded runs
    When 1000 images have one run each while image "a" keeps running
    And 200 runs of image "a" take 3.0 times what they declare
    Then a run of image "a" declared as 1000 ms has a median within 25 % of 3000 ms
    And a forgotten image is expected to behave like its queue
